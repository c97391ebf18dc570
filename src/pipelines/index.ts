/**
 * Pipeline files and typed requests: two notations for the same thing. Both compile to `PipelineSpec`, the normal form in
 * `protocol/pipelines.ts` and the only form that the service knows. Loaded only by the command line.
 */
export { nextRuns, parseEvery, localMoment, parseMoment, runName, type Calendar } from './calendar.js';
export { PipelineClient, refusalLines, type Refusal } from './client.js';
export { pipelineCommands, type PipelineCommandDependencies } from './commands.js';
export { compile, jobIdOf, type Draft, type DraftStep } from './draft.js';
export { faultWithCaret, faultLine, type Fault, type Position } from './faults.js';
export { parsePipelineFile, type PipelineFile } from './file.js';
export { Prompt, type PromptDependencies } from './prompt.js';
export { changesText, levelsOf, planText, showText, summaryText } from './render.js';
export { parseRequest, type Request } from './request.js';

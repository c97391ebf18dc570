/**
 * Pipeline files and typed requests: two ways to write the same thing. Both come to `PipelineSpec`, the normal form of
 * `protocol/pipelines.ts`, and the service knows of nothing else. Loaded by the command line alone.
 */
export { nextRuns, parseEvery, localMoment, moment, runName, type Calendar } from './calendar.js';
export { PipelineClient, refusalLines, type Refusal } from './client.js';
export { pipelineCommands, type CommandDeps } from './commands.js';
export { compile, jobIdOf, type Draft, type DraftStep } from './draft.js';
export { caret, faultLine, type Fault, type Position } from './faults.js';
export { parsePipelineFile, type PipelineFile } from './file.js';
export { Prompt, type PromptDeps } from './prompt.js';
export { changesText, levelsOf, planText, showText, summaryText } from './render.js';
export { parseRequest, type Request } from './request.js';

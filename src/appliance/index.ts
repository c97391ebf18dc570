/** Runs a whole site on one machine: state service, machine provider, agent and controller, with nothing else needed. */
export { applianceCommands, type ApplianceHost } from './commands.js';
export { parseSite, template, type Site, type SiteNode } from './settings.js';
export { latestOutput } from './outputs.js';
export { sitePaths, MAX_CONNECTIONS, startSite, type RunningSite } from './site.js';

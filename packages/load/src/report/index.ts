/** What a run found. */
export * from './compareReports.js';
export * from './formatReport.js';
export * from './latency.js';
export * from './onceJudge.js';
export * from './report.js';
export * from './section.js';

/** Report of a run. */
export * from './compareReports.js';
export * from './formatReport.js';
export * from './latency.js';
export * from './atMostOnceCheck.js';
export * from './report.js';
export * from './section.js';

/** Faults of an engine as they are when it starts. */
export const defaultEngineFaults = {
  /** Restarts once: new boot id, cold, cache empty. */
  restart: false,
  /** Answers whose connection is cut halfway. */
  dieMidStream: 0,
  /** Answers that end halfway without their end marker. */
  truncate: 0,
  /** Answers that carry another request's attempt id and text. */
  crossAnswers: 0,
  resetBeforeRun: 0,
  resetAfterRun: 0,
  slowFactor: 1,
  eventLagMs: 0,
  dropEvents: 0,
  duplicateEvents: 0,
  loadLagMs: 0,
  /** Weight version to swap to without an event; empty for none. */
  silentSwap: '',
  hang: false,
  /** Whether it signals that it is leaving. */
  leaving: false,
};

export type EngineFaults = typeof defaultEngineFaults;

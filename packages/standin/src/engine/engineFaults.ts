/** Initial faults of an engine. */
export const defaultEngineFaults = {
  /** Restarts the engine once, with a new boot id, cold and with an empty cache. */
  restart: false,
  /** Number of responses whose connection is cut halfway. */
  dieMidStream: 0,
  /** Number of responses that end halfway without their end marker. */
  truncate: 0,
  /** Number of responses that carry the attempt id and text of another request. */
  crossAnswers: 0,
  resetBeforeRun: 0,
  resetAfterRun: 0,
  slowFactor: 1,
  eventLagMs: 0,
  dropEvents: 0,
  duplicateEvents: 0,
  loadLagMs: 0,
  /**
   * Weight version to switch to without clearing the cache or publishing an event; empty for none.
   */
  silentSwap: '',
  hang: false,
  /** Whether the engine reports that it is leaving. */
  leaving: false,
};

export type EngineFaults = typeof defaultEngineFaults;

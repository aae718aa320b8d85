const readRealClock = performance.now.bind(performance);

/** Replaces the runtime's clock; a spy would keep each of its millions of calls. */
export const setClock = (now: () => number): void => {
  Object.assign(performance, { now });
};

export const restoreClock = (): void => setClock(readRealClock);

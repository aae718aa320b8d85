/** Signals of a daemon that come before its program is loaded. */
import { DAEMON_SIGNALS } from '../process/processSignals.js';

const collected: string[] = [];

const collectSignal = (name: string): void => {
  collected.push(name);
};

/** Keeps signals until the program takes them, instead of their default action. */
export const collectSignals = (): void => {
  for (const name of DAEMON_SIGNALS) process.on(name, collectSignal);
};

/** Returns the signals so far and collects no more. */
export const takeCollectedSignals = (): readonly string[] => {
  for (const name of DAEMON_SIGNALS) process.off(name, collectSignal);
  return collected.splice(0);
};

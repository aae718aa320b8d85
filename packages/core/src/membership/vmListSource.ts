import type { VmRecord } from './vm.js';

/** The platform's VM list, which is eventually consistent. */
export abstract class VmListSource {
  /** Reads the list; throws if the platform does not respond. */
  abstract list(signal: AbortSignal): Promise<readonly VmRecord[]>;
}

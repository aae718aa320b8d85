import type { VmRecord } from './vm.js';

/** The platform's VM list, which lags. */
export abstract class VmListSource {
  /** Reads the list; throws where the platform does not answer. */
  abstract list(signal: AbortSignal): Promise<readonly VmRecord[]>;
}

import type { Benchmark, Measurement } from './measurement.js';
import { measureEditPropagation } from './editPropagation.js';

const VM_COUNT = 9;
const MAX_PROPAGATION_MS = 3_000;

/** Time from the acceptance of an edit until every entry VM applies it. */
const benchmark: Benchmark = {
  name: 'table',
  async run() {
    const measurements: Measurement[] = [];
    for (const unreachableVmCount of [0, 3]) {
      const { p50Ms, maxMs } = await measureEditPropagation({
        vmCount: VM_COUNT,
        unreachableVmCount,
      });
      const options = `${VM_COUNT} VMs, ${unreachableVmCount} without access to the log`;
      measurements.push(
        { name: `table: edit propagation, ${options}, p50 (ms)`, measured: p50Ms },
        {
          name: `table: edit propagation, ${options}, max (ms)`,
          measured: maxMs,
          bound: MAX_PROPAGATION_MS,
        },
      );
    }
    return measurements;
  },
};

export default benchmark;

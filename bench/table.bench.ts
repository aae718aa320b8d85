import type { Benchmark, Measure } from './measure.js';
import { runTableSite } from './tableSite.js';

const VMS = 9;
const TARGET_MS = 3_000;

/** Time from an accepted edit to its being in force on every entry VM. */
const benchmark: Benchmark = {
  name: 'table',
  async run() {
    const measures: Measure[] = [];
    for (const cutVms of [0, 3]) {
      const { p50Ms, maxMs } = await runTableSite({ vms: VMS, cutVms });
      const site = `${VMS} VMs, ${cutVms} cut off from the log`;
      measures.push(
        { name: `table: accepted to in force, ${site}, p50 (ms)`, ours: p50Ms },
        { name: `table: accepted to in force, ${site}, max (ms)`, ours: maxMs, bound: TARGET_MS },
      );
    }
    return measures;
  },
};

export default benchmark;

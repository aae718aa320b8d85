import { createLogger, createMetricsRegistry } from '@goldcrestscale/runtime';
import { FaultRecorder } from '../faultRecorder.js';
import { createGatewayMetrics } from '../metrics.js';
import { RequestLog } from '../requestLog.js';

/** Creates a recorder of faults with metrics of its own. */
export const createTestFaults = () => {
  const metrics = createGatewayMetrics(createMetricsRegistry());
  const logger = createLogger({ part: 'test', level: 'error', format: 'json' });
  return { faults: new FaultRecorder(new RequestLog(logger), metrics), metrics };
};

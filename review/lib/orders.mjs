/** Unsafe requests on kept channels, and what became of them. */
import { createChannel, sendRequest } from './client.mjs';

export const openChannels = (count) => Array.from({ length: count }, createChannel);

/** Sends one order on each channel. @returns their outcomes, once all have ended */
export const sendOrders = (channels, { port, host, path, limitMs }) =>
  Promise.all(
    channels.map((agent, index) =>
      sendRequest({
        port,
        host,
        path: `${path}${index}`,
        method: 'POST',
        body: 'order',
        agent,
        limitMs,
      }),
    ),
  );

/** Writes the outcomes into the record. @returns how many ran and have no answer */
export const countUnanswered = (outcomes, runs, record) => {
  const hasRun = new Set(runs.map(({ attempt }) => attempt));
  outcomes.forEach(({ attempt, status, failure }) => {
    const run = hasRun.has(attempt) ? 'ran' : 'did not run';
    record.write(`client: order ${attempt} ${run}, ended with ${status} ${failure}`.trim());
  });
  return outcomes.filter(({ attempt, status }) => status === 0 && hasRun.has(attempt)).length;
};

import { CliError, exitCodes } from '@goldcrestscale/runtime';
import { request } from 'undici';
import { z } from 'zod';
import { ENTRY_TIMEOUT_MS } from '../constants.js';

const HTTP_OK = 200;
const HTTP_UNAUTHORIZED = 401;

const entriesSchema = z.object({
  entries: z.array(z.object({ address: z.string(), availabilityZone: z.string() })),
  ttlMs: z.number().nonnegative(),
});

/** Addresses that an entry VM tells its callers to use. */
export type EntriesAnswer = z.output<typeof entriesSchema>;

const fetchJson = async (url: string, signal: AbortSignal, key?: string): Promise<unknown> => {
  const timeout = AbortSignal.timeout(ENTRY_TIMEOUT_MS);
  const answer = await request(url, {
    signal: AbortSignal.any([signal, timeout]),
    headers: key === undefined ? {} : { authorization: `Bearer ${key}` },
  }).catch((error: unknown) => {
    throw new CliError(
      `${url} does not answer: ${(error as Error).message}`,
      exitCodes.unavailable,
    );
  });
  if (answer.statusCode === HTTP_UNAUTHORIZED) {
    await answer.body.dump();
    throw new CliError(`${url} refused the key`, exitCodes.refused);
  }
  if (answer.statusCode !== HTTP_OK) {
    await answer.body.dump();
    throw new CliError(`${url} answered ${answer.statusCode}`, exitCodes.unavailable);
  }
  return answer.body.json();
};

/** Fetches the state dump of an entry VM from its operations listener. */
export const fetchState = (address: string, key: string, signal: AbortSignal): Promise<unknown> =>
  fetchJson(`http://${address}/state`, signal, key);

/** Fetches the addresses that an entry VM tells its callers to use. */
export const fetchEntries = async (
  address: string,
  signal: AbortSignal,
): Promise<EntriesAnswer> => {
  const parsed = entriesSchema.safeParse(await fetchJson(`http://${address}/v1/entries`, signal));
  if (parsed.success) return parsed.data;
  throw new CliError(`${address} gave no list of entries`, exitCodes.failure);
};

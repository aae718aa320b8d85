import { CliError, exitCodes, readResponseBody } from '@goldcrestscale/runtime';
import { request } from 'undici';
import { z } from 'zod';
import { ENTRY_REQUEST_TIMEOUT_MS, MAX_ENTRY_RESPONSE_BYTES } from '../constants.js';

const HTTP_OK = 200;
const HTTP_UNAUTHORIZED = 401;

const entriesSchema = z.object({
  entries: z.array(z.object({ address: z.string(), availabilityZone: z.string() })),
  ttlMs: z.number().nonnegative(),
});

/** Entry VM addresses that an entry VM advertises to its callers. */
export type EntriesResponse = z.output<typeof entriesSchema>;

const fetchJson = async (url: string, signal: AbortSignal, key?: string): Promise<unknown> => {
  const timeout = AbortSignal.timeout(ENTRY_REQUEST_TIMEOUT_MS);
  const response = await request(url, {
    signal: AbortSignal.any([signal, timeout]),
    headers: key === undefined ? {} : { authorization: `Bearer ${key}` },
  }).catch((error: unknown) => {
    throw new CliError(
      `no response from ${url}: ${(error as Error).message}`,
      exitCodes.unavailable,
    );
  });
  if (response.statusCode === HTTP_UNAUTHORIZED) {
    await response.body.dump();
    throw new CliError(`${url} rejected the key`, exitCodes.refused);
  }
  if (response.statusCode !== HTTP_OK) {
    await response.body.dump();
    throw new CliError(`${url} returned HTTP ${response.statusCode}`, exitCodes.unavailable);
  }
  try {
    const body = await readResponseBody(response.body, MAX_ENTRY_RESPONSE_BYTES);
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch (error) {
    throw new CliError(
      `no usable response from ${url}: ${(error as Error).message}`,
      exitCodes.failure,
    );
  }
};

/** Fetches the state dump of an entry VM from its operations listener. */
export const fetchState = (address: string, key: string, signal: AbortSignal): Promise<unknown> =>
  fetchJson(`http://${address}/state`, signal, key);

/** Fetches the entry VM addresses that an entry VM advertises to its callers. */
export const fetchEntries = async (
  address: string,
  signal: AbortSignal,
): Promise<EntriesResponse> => {
  const parsed = entriesSchema.safeParse(await fetchJson(`http://${address}/v1/entries`, signal));
  if (parsed.success) return parsed.data;
  throw new CliError(`${address} returned no valid list of entry VMs`, exitCodes.failure);
};

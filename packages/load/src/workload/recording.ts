import { createReadStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import { createInterface } from 'node:readline';
import { CliError, exitCodes, parseJson, parseSettings } from '@goldcrestscale/runtime';
import { MAX_RECORD_LINE_BYTES } from '../constants.js';
import { comparePlannedRequests, plannedRequestSchema } from './plannedRequest.js';
import type { PlannedRequest } from './plannedRequest.js';

/** Encodes requests as a recording with one JSON object per line. */
export const encodeRecording = (requests: readonly PlannedRequest[]): string =>
  requests.map((request) => `${JSON.stringify(request)}\n`).join('');

/** Parses one line of a recording. @throws GoldcrestError or SettingsError that names the line */
export const parseRecordLine = (line: string, source: string): PlannedRequest =>
  parseSettings(plannedRequestSchema, parseJson(line, { maxBytes: MAX_RECORD_LINE_BYTES }), source);

export const saveRecording = (file: string, requests: readonly PlannedRequest[]): Promise<void> =>
  writeFile(file, encodeRecording(requests));

/** Reads the first `maxRequests` requests of a recording and sorts them by planned start. */
export const loadRecording = async (
  file: string,
  maxRequests: number,
): Promise<PlannedRequest[]> => {
  const requests: PlannedRequest[] = [];
  const lines = createInterface({ input: createReadStream(file), crlfDelay: Infinity });
  try {
    for await (const line of lines) {
      if (requests.length >= maxRequests) break;
      if (line.trim() !== '')
        requests.push(parseRecordLine(line, `${file}:${requests.length + 1}`));
    }
  } catch (error) {
    throw new CliError(`${file}: ${(error as Error).message}`, exitCodes.usage);
  } finally {
    lines.close();
  }
  return requests.sort(comparePlannedRequests);
};

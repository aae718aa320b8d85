import { readFile } from 'node:fs/promises';

const LIMITS_PATH = '/proc/self/limits';

/** Reads how many file descriptors the kernel grants this process; undefined if it doesn't tell. */
export const readFileDescriptorLimit = async (): Promise<number | undefined> => {
  // Systems without the file have no other way to tell.
  const text = await readFile(LIMITS_PATH, 'utf8').catch(() => '');
  const limit = /^Max open files\s+(\d+)/m.exec(text)?.[1];
  return limit === undefined ? undefined : Number(limit);
};

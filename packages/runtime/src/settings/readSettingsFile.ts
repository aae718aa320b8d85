import { readFile } from 'node:fs/promises';
import { sleep } from '@goldcrestscale/core';

/** Maximum time for which a start waits for a complete settings file, in milliseconds. */
export const SETTINGS_WAIT_MS = 5_000;

const RETRY_MS = 50;

/** Maximum size of a settings file, in bytes. */
const MAX_SETTINGS_BYTES = 4 * 1024 * 1024;

/** Options of `readSettingsFile`. */
export interface ReadSettingsOptions {
  /** Aborts the read and the wait. */
  readonly signal?: AbortSignal;
  /** Time for which a file that is missing or cut off is read again. @default 0 */
  readonly waitMs?: number;
  /** Called before the first wait. */
  readonly onWait?: (problem: string) => void;
}

/** A settings file that can't be used as JSON. */
export interface UnreadableSettings {
  readonly found: string;
  readonly allowed: string;
}

/** Thrown if a settings file can't be read as JSON. */
export class UnreadableSettingsError extends Error {
  override readonly name = 'UnreadableSettingsError';

  constructor(
    readonly problem: UnreadableSettings,
    /** Whether the file may be complete at a later read. */
    readonly isPassing: boolean,
  ) {
    super(`${problem.found}; ${problem.allowed}`);
  }
}

const readText = async (file: string, signal: AbortSignal | undefined): Promise<string> => {
  try {
    return await readFile(file, { encoding: 'utf8', ...(signal ? { signal } : {}) });
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    const found = `no readable file (${code ?? 'unknown'})`;
    const isPassing = code === 'ENOENT' && file !== '';
    throw new UnreadableSettingsError({ found, allowed: 'allowed: a JSON file' }, isPassing);
  }
};

const parseText = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch (error) {
    // JSON.parse may quote the text, which may contain a secret, so only the position is shown.
    const position = /position \d+( \(line \d+ column \d+\))?/.exec((error as Error).message)?.[0];
    const found = `broken JSON${position ? ` at ${position}` : ''}`;
    throw new UnreadableSettingsError({ found, allowed: 'allowed: a JSON object' }, true);
  }
};

const readOnce = async (file: string, signal: AbortSignal | undefined): Promise<unknown> => {
  const text = await readText(file, signal);
  if (Buffer.byteLength(text) > MAX_SETTINGS_BYTES) {
    const allowed = `allowed: at most ${MAX_SETTINGS_BYTES} bytes`;
    throw new UnreadableSettingsError({ found: 'a larger file', allowed }, false);
  }
  return parseText(text);
};

/**
 * Reads a JSON settings file. A file that is missing, empty or cut off may be in the course of being
 * written, and is read again for the time given.
 *
 * @throws UnreadableSettingsError
 */
export const readSettingsFile = async (
  file: string,
  { signal, waitMs = 0, onWait }: ReadSettingsOptions = {},
): Promise<unknown> => {
  const deadlineAtMs = performance.now() + waitMs;
  for (let isFirst = true; ; isFirst = false) {
    try {
      return await readOnce(file, signal);
    } catch (error) {
      const isPassing = error instanceof UnreadableSettingsError && error.isPassing;
      if (!isPassing || signal?.aborted || performance.now() >= deadlineAtMs) throw error;
      if (isFirst) onWait?.(error.message);
      await sleep(RETRY_MS, signal);
    }
  }
};

import { fetch } from 'undici';

/** Sends a JSON request and returns the parsed JSON response; throws on an error status. */
export const requestJson = async <Value = unknown>(
  url: string,
  method: 'GET' | 'POST' | 'PUT' | 'DELETE' = 'GET',
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<Value> => {
  const response = await fetch(url, {
    method,
    headers: { 'content-type': 'application/json', ...headers },
    ...(body !== undefined && { body: JSON.stringify(body) }),
  });
  const text = await response.text();
  if (!response.ok) throw new Error(`${method} ${url} answered ${response.status}: ${text}`);
  return JSON.parse(text) as Value;
};

/** Polls until a condition holds; throws with its description after a timeout. */
export const waitUntil = async (
  description: string,
  isMet: () => Promise<boolean> | boolean,
  timeoutMs = 30_000,
  intervalMs = 25,
): Promise<void> => {
  const deadlineAtMs = Date.now() + timeoutMs;
  while (!(await isMet())) {
    if (Date.now() > deadlineAtMs)
      throw new Error(`timed out after ${timeoutMs} ms: ${description}`);
    await new Promise((resolve) => {
      setTimeout(resolve, intervalMs);
    });
  }
};

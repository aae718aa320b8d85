import { fetch } from 'undici';

/** Sends a JSON request to a process of the site and gives the JSON answer. */
export const requestJson = async <Value = unknown>(
  url: string,
  method: 'GET' | 'POST' | 'PUT' | 'DELETE' = 'GET',
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<Value> => {
  const answer = await fetch(url, {
    method,
    headers: { 'content-type': 'application/json', ...headers },
    ...(body !== undefined && { body: JSON.stringify(body) }),
  });
  const text = await answer.text();
  if (!answer.ok) throw new Error(`${method} ${url} answered ${answer.status}: ${text}`);
  return JSON.parse(text) as Value;
};

/** Waits until a condition holds; throws after a bound, with the reason. */
export const waitUntil = async (
  reason: string,
  isTrue: () => Promise<boolean> | boolean,
  timeoutMs = 30_000,
  intervalMs = 25,
): Promise<void> => {
  const deadlineAtMs = Date.now() + timeoutMs;
  while (!(await isTrue())) {
    if (Date.now() > deadlineAtMs) throw new Error(`waited ${timeoutMs} ms in vain: ${reason}`);
    await new Promise((resolve) => {
      setTimeout(resolve, intervalMs);
    });
  }
};

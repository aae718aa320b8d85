/** Text that stands in for a prompt, key or other private value in a log line. */
export const REDACTED = '[redacted]';

/** Prefix of every API key that the system makes. */
export const API_KEY_PREFIX = 'gck_';

const MAX_TEXT_CHARS = 512;
const MAX_DEPTH = 6;
const SHORTEST_SECRET_CHARS = 6;

const PRIVATE_NAME =
  /^(prompts?|messages|input|content|body|text|answer|completion|authorization|cookie|blocks?|keys?)$/i;
const PRIVATE_ENDING = /((secret|password|passphrase|token|apikeys?)|[-_]keys?)$/i;
const PRIVATE_CAMEL_ENDING = /[a-z]Keys?$/;
const KEY_PATTERN = new RegExp(`(${API_KEY_PREFIX}[\\w-]+)|(Bearer\\s+\\S+)|(\\bsk-[\\w-]+)`, 'gi');

const secrets = new Set<string>();

/** Keeps a secret out of every later log line. */
export const registerSecret = (secret: string): void => {
  if (secret.length >= SHORTEST_SECRET_CHARS) secrets.add(secret);
};

/** Forgets the registered secrets. */
export const clearSecrets = (): void => secrets.clear();

/** Replaces registered secrets and anything that looks like a key in a text. */
export const redactText = (text: string): string => {
  let safe = text;
  for (const secret of secrets) safe = safe.replaceAll(secret, REDACTED);
  safe = safe.replace(KEY_PATTERN, REDACTED);
  return safe.length > MAX_TEXT_CHARS ? `${safe.slice(0, MAX_TEXT_CHARS)}...` : safe;
};

/** Tells whether a field of this name may hold a prompt, an answer or a key. */
export const isPrivateName = (name: string): boolean =>
  [PRIVATE_NAME, PRIVATE_ENDING, PRIVATE_CAMEL_ENDING].some((pattern) => pattern.test(name));

const redactError = (error: Error): unknown => ({
  name: error.name,
  message: redactText(error.message),
  ...('code' in error ? { code: redactText(String(error.code)) } : {}),
});

/** Copies a value for a log line, without prompts, answers and keys. */
export const redactValue = (value: unknown, depth = 0): unknown => {
  if (typeof value === 'string') return redactText(value);
  if (typeof value === 'bigint') return value.toString();
  if (typeof value === 'function' || typeof value === 'symbol') return undefined;
  if (typeof value !== 'object' || value === null) return value;
  if (value instanceof Error) return redactError(value);
  if (depth >= MAX_DEPTH || ArrayBuffer.isView(value)) return REDACTED;
  if (Array.isArray(value)) return value.map((item: unknown) => redactValue(item, depth + 1));
  return Object.fromEntries(
    Object.entries(value).map(([name, item]) => [
      name,
      isPrivateName(name) ? REDACTED : redactValue(item, depth + 1),
    ]),
  );
};

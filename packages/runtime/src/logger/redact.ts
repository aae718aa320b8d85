/** Placeholder for a prompt, key or other private value in a log line. */
export const REDACTED = '[redacted]';

/** Prefix of all generated API keys. */
export const API_KEY_PREFIX = 'gck_';

const MAX_TEXT_CHARS = 512;
const MAX_NESTING_DEPTH = 6;
const MIN_SECRET_CHARS = 6;

const PRIVATE_NAME_PATTERN =
  /^(prompts?|messages|input|content|body|text|answer|completion|authorization|cookie|blocks?|keys?)$/i;
const PRIVATE_SUFFIX_PATTERN = /((secret|password|passphrase|token|apikeys?)|[-_]keys?)$/i;
const CAMEL_CASE_KEY_PATTERN = /[a-z]Keys?$/;
const KEY_PATTERN = new RegExp(`(${API_KEY_PREFIX}[\\w-]+)|(Bearer\\s+\\S+)|(\\bsk-[\\w-]+)`, 'gi');

const registeredSecrets = new Set<string>();

/** Registers a secret to be redacted in all later log lines. */
export const registerSecret = (secret: string): void => {
  if (secret.length >= MIN_SECRET_CHARS) registeredSecrets.add(secret);
};

/** Removes all registered secrets. */
export const clearSecrets = (): void => registeredSecrets.clear();

/** Redacts registered secrets and anything that looks like a key, and truncates long text. */
export const redactText = (text: string): string => {
  let redacted = text;
  for (const secret of registeredSecrets) redacted = redacted.replaceAll(secret, REDACTED);
  redacted = redacted.replace(KEY_PATTERN, REDACTED);
  return redacted.length > MAX_TEXT_CHARS ? `${redacted.slice(0, MAX_TEXT_CHARS)}...` : redacted;
};

/** Returns whether a field with this name may contain a prompt, a response or a key. */
export const isPrivateFieldName = (name: string): boolean =>
  [PRIVATE_NAME_PATTERN, PRIVATE_SUFFIX_PATTERN, CAMEL_CASE_KEY_PATTERN].some((pattern) =>
    pattern.test(name),
  );

const redactError = (error: Error): unknown => ({
  name: error.name,
  message: redactText(error.message),
  ...('code' in error ? { code: redactText(String(error.code)) } : {}),
});

/** Copies a value for a log line with prompts, responses and keys redacted. */
export const redactValue = (value: unknown, depth = 0): unknown => {
  if (typeof value === 'string') return redactText(value);
  if (typeof value === 'bigint') return value.toString();
  if (typeof value === 'function' || typeof value === 'symbol') return undefined;
  if (typeof value !== 'object' || value === null) return value;
  if (value instanceof Error) return redactError(value);
  if (depth >= MAX_NESTING_DEPTH || ArrayBuffer.isView(value)) return REDACTED;
  if (Array.isArray(value)) return value.map((item: unknown) => redactValue(item, depth + 1));
  return Object.fromEntries(
    Object.entries(value).map(([name, item]) => [
      name,
      isPrivateFieldName(name) ? REDACTED : redactValue(item, depth + 1),
    ]),
  );
};

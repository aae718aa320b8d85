import { randomBytes } from 'node:crypto';

const TIME_HEX_DIGITS = 12;
const RANDOM_BYTES = 10;

/** Generates an idempotency key: a version 7 UUID, which contains its creation timestamp. */
export const generateIdempotencyKey = (nowMs = Date.now()): string => {
  const timestamp = nowMs.toString(16).padStart(TIME_HEX_DIGITS, '0');
  const random = randomBytes(RANDOM_BYTES);
  random[0] = ((random[0] ?? 0) % 16) + 0x70;
  random[2] = ((random[2] ?? 0) % 64) + 0x80;
  const hex = `${timestamp}${random.toString('hex')}`;
  return hex.replace(/^(.{8})(.{4})(.{4})(.{4})(.{12})$/, '$1-$2-$3-$4-$5');
};

import { randomBytes } from 'node:crypto';

const TIME_HEX_DIGITS = 12;

/** Generates an idempotency key that carries its time: a UUID of version 7. */
export const generateIdempotencyKey = (timeMs = Date.now()): string => {
  const time = timeMs.toString(16).padStart(TIME_HEX_DIGITS, '0');
  const random = randomBytes(10).toString('hex');
  const variant = '89ab'[randomBytes(1).readUInt8(0) % 4] ?? '8';
  return [
    time.slice(0, 8),
    time.slice(8),
    `7${random.slice(0, 3)}`,
    `${variant}${random.slice(3, 6)}`,
    random.slice(6, 18),
  ].join('-');
};

import { Packr } from 'msgpackr';

const packr = new Packr({ useRecords: false });

/** Numeric frame kinds on the wire, used on authenticated connections only. */
export const FRAME_KIND = { request: 0, reply: 1, failure: 2, oneWay: 3, cancel: 4 } as const;

/** Request that the peer must answer within `timeoutMs`. */
export interface RequestFrame {
  readonly kind: 'request';
  readonly id: number;
  readonly type: string;
  readonly timeoutMs: number;
  readonly payload: unknown;
}

/** Message on an authenticated connection. */
export type Frame =
  | RequestFrame
  | { readonly kind: 'reply'; readonly id: number; readonly payload: unknown }
  | {
      readonly kind: 'failure';
      readonly id: number;
      readonly failure: string;
      readonly text: string;
    }
  | { readonly kind: 'oneWay'; readonly type: string; readonly payload: unknown }
  | { readonly kind: 'cancel'; readonly id: number };

const encodeFields = (frame: Frame): unknown[] => {
  switch (frame.kind) {
    case 'request':
      return [FRAME_KIND.request, frame.id, frame.type, frame.timeoutMs, frame.payload];
    case 'reply':
      return [FRAME_KIND.reply, frame.id, frame.payload];
    case 'failure':
      return [FRAME_KIND.failure, frame.id, frame.failure, frame.text];
    case 'oneWay':
      return [FRAME_KIND.oneWay, frame.type, frame.payload];
    default:
      return [FRAME_KIND.cancel, frame.id];
  }
};

/** Encodes a value as MessagePack. */
export const encodeValue = (value: unknown): Buffer => packr.pack(value);

/** Decodes MessagePack bytes; undefined if they are not exactly one complete value. */
export const decodeValue = (bytes: Buffer): unknown => {
  try {
    return packr.unpack(bytes);
  } catch {
    return undefined;
  }
};

export const encodeFrame = (frame: Frame): Buffer => encodeValue(encodeFields(frame));

const isId = (value: unknown): value is number => Number.isSafeInteger(value);

const isString = (value: unknown): value is string => typeof value === 'string';

/** Decodes a frame; undefined if the bytes are malformed. */
export const parseFrame = (bytes: Buffer): Frame | undefined => {
  const fields = decodeValue(bytes);
  if (!Array.isArray(fields)) return undefined;
  const [kind, a, b, c, d] = fields as unknown[];
  if (kind === FRAME_KIND.oneWay) {
    return isString(a) ? { kind: 'oneWay', type: a, payload: b } : undefined;
  }
  if (!isId(a)) return undefined;
  if (kind === FRAME_KIND.request && isString(b) && typeof c === 'number' && c >= 0) {
    return { kind: 'request', id: a, type: b, timeoutMs: c, payload: d };
  }
  if (kind === FRAME_KIND.reply) return { kind: 'reply', id: a, payload: b };
  if (kind === FRAME_KIND.failure && isString(b) && isString(c)) {
    return { kind: 'failure', id: a, failure: b, text: c };
  }
  return kind === FRAME_KIND.cancel ? { kind: 'cancel', id: a } : undefined;
};

/** Types of the frames that a VM sends on a connection that it was asked to extend to an upstream. */
const FRAME_TYPES = {
  /** The connection to the upstream is open. */
  open: 1,
  /** The upstream can't be reached from there either. */
  unreachable: 2,
  /** This VM reaches no upstream, has no room, or is leaving; another one may be asked. */
  unavailable: 3,
  /** Bytes of the upstream. */
  data: 4,
  /** The upstream has closed its connection in order; the content tells what had been sent to it. */
  end: 5,
  /** The upstream's connection was reset or failed. */
  reset: 6,
  /** This VM stops; the connection is to be closed once it carries no exchange. */
  leaving: 7,
} as const;

export type TunnelFrameType = keyof typeof FRAME_TYPES;

/** A whole frame, or a part of one with data. */
export interface TunnelFrame {
  readonly type: TunnelFrameType;
  readonly content: Buffer;
}

/** A byte for the type and four, big-endian, for the length of the content. */
const HEAD_BYTES = 5;

/** Size of a count of bytes in a frame. */
const COUNT_BYTES = 6;

const TYPES_BY_CODE = new Map<number, TunnelFrameType>(
  Object.entries(FRAME_TYPES).map(([type, code]) => [code, type as TunnelFrameType]),
);

const NO_BYTES: Buffer = Buffer.alloc(0);

/** Encodes what comes before the content of a frame. */
export const encodeTunnelHead = (type: TunnelFrameType, contentBytes = 0): Buffer => {
  const head = Buffer.alloc(HEAD_BYTES);
  head.writeUInt8(FRAME_TYPES[type]);
  head.writeUInt32BE(contentBytes, 1);
  return head;
};

/** Encodes the content of an `end`: the number of bytes that were sent to the upstream. */
export const encodeSentBytes = (sentBytes: number): Buffer => {
  const content = Buffer.alloc(COUNT_BYTES);
  content.writeUIntBE(sentBytes, 0, COUNT_BYTES);
  return content;
};

export const decodeSentBytes = (content: Buffer): number =>
  content.length < COUNT_BYTES ? 0 : content.readUIntBE(0, COUNT_BYTES);

/** Decodes frames; data is passed on as it comes, and frames of a later version are skipped. */
export class TunnelFrameReader {
  private readonly head = Buffer.alloc(HEAD_BYTES);

  private headBytes = 0;

  private missingBytes = 0;

  /** The begin of the content of a frame that has no data. */
  private content = NO_BYTES;

  push(chunk: Buffer): readonly TunnelFrame[] {
    const frames: TunnelFrame[] = [];
    for (let offset = 0; offset < chunk.length;) {
      if (this.headBytes < HEAD_BYTES) {
        const taken = chunk.copy(this.head, this.headBytes, offset);
        this.headBytes += taken;
        offset += taken;
        if (this.headBytes < HEAD_BYTES) break;
        this.missingBytes = this.head.readUInt32BE(1);
      }
      const part = chunk.subarray(offset, offset + this.missingBytes);
      offset += part.length;
      this.missingBytes -= part.length;
      const frame = this.takeFrame(part);
      if (frame) frames.push(frame);
      if (this.missingBytes === 0) this.headBytes = 0;
    }
    return frames;
  }

  private takeFrame(part: Buffer): TunnelFrame | undefined {
    const type = TYPES_BY_CODE.get(this.head.readUInt8());
    if (type === 'data') return part.length > 0 ? { type, content: part } : undefined;
    if (this.content.length < COUNT_BYTES) {
      this.content = Buffer.concat([this.content, part.subarray(0, COUNT_BYTES)]);
    }
    if (this.missingBytes > 0) return undefined;
    const { content } = this;
    this.content = NO_BYTES;
    return type === undefined ? undefined : { type, content };
  }
}

const LINE_END = '\r\n';

const HEXADECIMAL = 16;

/** Encodes data as one chunk of a chunked transfer encoding. The data must not be empty. */
export const encodeChunk = (data: Uint8Array): Buffer => {
  const head = `${data.length.toString(HEXADECIMAL)}${LINE_END}`;
  const bytes = Buffer.allocUnsafe(head.length + data.length + LINE_END.length);
  bytes.write(head, 0, 'latin1');
  bytes.set(data, head.length);
  bytes.write(LINE_END, head.length + data.length, 'latin1');
  return bytes;
};

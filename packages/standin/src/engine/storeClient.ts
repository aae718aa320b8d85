import { request } from 'undici';
import { computeChecksum } from './blockContent.js';

/** Content and metadata of a block read from a store VM. */
export interface ReadBlock {
  readonly content: Buffer;
  readonly length: number;
  readonly checksum: string;
  readonly generation: number;
  readonly incarnation: string;
  readonly state: string;
}

const buildUrl = (storeUrl: string, name: string): string =>
  `${storeUrl}/blocks/${encodeURIComponent(name)}`;

/** Uploads a block to a store VM, where it stays temporary until committed. */
export const putBlock = async (storeUrl: string, name: string, content: Buffer): Promise<void> => {
  const { statusCode, body } = await request(buildUrl(storeUrl, name), {
    method: 'PUT',
    body: content,
  });
  await body.dump();
  if (statusCode !== 200) throw new Error(`store VM answered ${statusCode}`);
};

/** Reads a block from a store VM. */
export const readBlock = async (storeUrl: string, name: string): Promise<ReadBlock> => {
  const { statusCode, headers, body } = await request(buildUrl(storeUrl, name));
  const content = Buffer.from(await body.arrayBuffer());
  if (statusCode !== 200) throw new Error(`store VM answered ${statusCode}`);
  return {
    content,
    length: content.length,
    checksum: computeChecksum(content),
    generation: Number(headers['x-generation']),
    incarnation: String(headers['x-incarnation']),
    state: String(headers['x-state']),
  };
};

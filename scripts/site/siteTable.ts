import { createHash, randomBytes } from 'node:crypto';
import { CONFIG_STREAM, createTableEditor, rowSchema } from '@goldcrestscale/core';
import type { Row, TableEditor } from '@goldcrestscale/core';
import { createHttpLogStream } from '@goldcrestscale/platform';

const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex');

/** Configuration table of a site, edited through the log as operators do. */
export class SiteTable {
  private readonly editor: TableEditor;

  private readonly apiKeys = new Map<string, string>();

  constructor(logUrl: string) {
    this.editor = createTableEditor(createHttpLogStream(logUrl, CONFIG_STREAM));
  }

  /** Gives the API key of a client account of the site. */
  getApiKey(accountId: string): string {
    const key = this.apiKeys.get(accountId);
    if (!key) throw new Error(`no account ${accountId}`);
    return key;
  }

  /** Puts rows as they stand in the site's settings; accounts get a new API key. */
  async putRows(rows: readonly Readonly<Record<string, unknown>>[]): Promise<void> {
    for (const row of rows) await this.putRow(rowSchema.parse(this.addKey(row)));
  }

  /** Puts one row; throws unless the edit was accepted. */
  async putRow(row: Row): Promise<void> {
    const outcome = await this.editor.applyChange({ action: 'put', row });
    if (outcome.type !== 'accepted') {
      throw new Error(`edit of ${row.kind}/${row.id} ended as ${JSON.stringify(outcome)}`);
    }
  }

  /** Takes an availability zone out, or back in. */
  setZone(zone: string, state: 'in' | 'out'): Promise<void> {
    return this.putRow(rowSchema.parse({ kind: 'zone', id: zone, state }));
  }

  private addKey(row: Readonly<Record<string, unknown>>): Readonly<Record<string, unknown>> {
    if (row.kind !== 'account') return row;
    const key = randomBytes(16).toString('hex');
    this.apiKeys.set(String(row.id), key);
    return { ...row, keyHashes: [hashKey(key)] };
  }
}

import { createHash, randomBytes } from 'node:crypto';
import { CONFIG_STREAM, createTableEditor, rowSchema } from '@goldcrestscale/core';
import type { Row, TableEditor } from '@goldcrestscale/core';
import { createHttpLogStream } from '@goldcrestscale/platform';

const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex');

/** Editor of a site's configuration table; it appends edits to the log, as the operators' tool does. */
export class SiteTable {
  private readonly editor: TableEditor;

  private readonly apiKeys = new Map<string, string>();

  constructor(logUrl: string) {
    this.editor = createTableEditor(createHttpLogStream(logUrl, CONFIG_STREAM));
  }

  /** Returns the generated API key of a client account. */
  getApiKey(accountId: string): string {
    const key = this.apiKeys.get(accountId);
    if (!key) throw new Error(`no account ${accountId}`);
    return key;
  }

  /** Puts rows in the given order; accounts get a generated API key. */
  async putRows(rows: readonly Readonly<Record<string, unknown>>[]): Promise<void> {
    for (const row of rows) await this.putRow(rowSchema.parse(this.addApiKey(row)));
  }

  /** Puts one row; throws if the edit is not accepted. */
  async putRow(row: Row): Promise<void> {
    const outcome = await this.editor.applyChange({ action: 'put', row });
    if (outcome.type !== 'accepted') {
      throw new Error(`edit of ${row.kind}/${row.id} not accepted: ${JSON.stringify(outcome)}`);
    }
  }

  /** Takes an availability zone out of service, or returns it to service. */
  setZone(zone: string, state: 'in' | 'out'): Promise<void> {
    return this.putRow(rowSchema.parse({ kind: 'zone', id: zone, state }));
  }

  private addApiKey(row: Readonly<Record<string, unknown>>): Readonly<Record<string, unknown>> {
    if (row.kind !== 'account') return row;
    const key = randomBytes(16).toString('hex');
    this.apiKeys.set(String(row.id), key);
    return { ...row, keyHashes: [hashKey(key)] };
  }
}

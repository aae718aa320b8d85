import { createHash, randomBytes } from 'node:crypto';
import type { ClientAccountRow, TableState } from '@goldcrestscale/core';
import { API_KEY_PREFIX, CliError, exitCodes } from '@goldcrestscale/runtime';
import { API_KEY_BYTES, MAX_ACCOUNT_KEYS } from '../constants.js';
import {
  mergeFields,
  parseFieldArguments,
  parseRow,
  parseRowKey,
  planChange,
} from '../table/index.js';
import { Command } from './command.js';
import type { CommandContext } from './command.js';
import { applyPlannedChange } from './applyPlannedChange.js';

/** An API key and the digest of it that the table stores. */
export interface ApiKey {
  readonly plaintext: string;
  readonly keyHash: string;
}

/** Generates an API key. */
export const generateApiKey = (): ApiKey => {
  const plaintext = `${API_KEY_PREFIX}${randomBytes(API_KEY_BYTES).toString('base64url')}`;
  return { plaintext, keyHash: createHash('sha256').update(plaintext).digest('hex') };
};

const failRefused = (message: string): never => {
  throw new CliError(message, exitCodes.refused);
};

const getAccount = (state: TableState, id: string): ClientAccountRow => {
  const row = state.rows.get(`account/${id}`)?.row;
  if (row?.kind !== 'account')
    throw new CliError(`account/${id} does not exist`, exitCodes.refused);
  return row;
};

/**
 * Prints the key after the edit with its digest has been accepted; the key itself is not stored.
 */
const saveAndPrintKey = async (
  context: CommandContext,
  state: TableState,
  row: ClientAccountRow,
  apiKey: ApiKey,
): Promise<void> => {
  const plannedChange = planChange(state, { action: 'put', row });
  if (!plannedChange) return;
  await applyPlannedChange(context, context.openTable(), plannedChange);
  context.printer.printResult(`API key of ${row.id}, shown only once: ${apiKey.plaintext}`, {
    account: row.id,
    apiKey: apiKey.plaintext,
  });
};

const createAccount = async (
  context: CommandContext,
  id: string,
  args: readonly string[],
): Promise<void> => {
  const fields = parseFieldArguments('account', args);
  const apiKey = generateApiKey();
  const row = parseRow(
    'account',
    { ...mergeFields({ id }, fields), keyHashes: [apiKey.keyHash] },
    `account/${id}`,
  );
  const state = await context.openTable().readState(context.signal);
  if (state.rows.has(`account/${id}`)) failRefused(`account/${id} already exists`);
  await saveAndPrintKey(context, state, row as ClientAccountRow, apiKey);
};

const rotateKey = async (context: CommandContext, id: string): Promise<void> => {
  const state = await context.openTable().readState(context.signal);
  const account = getAccount(state, id);
  const apiKey = generateApiKey();
  const keptHashes = context.flags.revokeOld ? [] : account.keyHashes;
  if (keptHashes.length >= MAX_ACCOUNT_KEYS) {
    failRefused(
      `account/${id} has ${keptHashes.length} keys, which is the maximum; use --revoke-old`,
    );
  }
  await saveAndPrintKey(
    context,
    state,
    { ...account, keyHashes: [apiKey.keyHash, ...keptHashes] },
    apiKey,
  );
};

/** Creates client accounts and rotates their API keys. */
export class AccountCommand extends Command {
  override readonly name = 'account';

  override readonly usage =
    'account create ID [FIELD=VALUE...] | account rotate-key ID [--revoke-old]';

  override async run(context: CommandContext, args: readonly string[]): Promise<undefined> {
    const [action, id = '', ...fields] = args;
    parseRowKey(`account/${id}`);
    if (action === 'create') await createAccount(context, id, fields);
    else if (action === 'rotate-key') {
      this.requireArguments(args, 2);
      await rotateKey(context, id);
    } else this.requireArguments([], 1);
  }
}

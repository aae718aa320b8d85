import { createHash, randomBytes } from 'node:crypto';
import type { ClientAccountRow, TableState } from '@goldcrestscale/core';
import { API_KEY_PREFIX, CliError, exitCodes } from '@goldcrestscale/runtime';
import { API_KEY_BYTES, MAX_ACCOUNT_KEYS } from '../constants.js';
import { mergeFields, parseFields, parseRow, parseRowKey, planChange } from '../table/index.js';
import { Command } from './command.js';
import type { CommandContext } from './command.js';
import { applyPlanned } from './applyPlanned.js';

/** An API key and the digest that the table keeps of it. */
export interface ApiKey {
  readonly text: string;
  readonly keyHash: string;
}

/** Generates an API key. */
export const generateApiKey = (): ApiKey => {
  const text = `${API_KEY_PREFIX}${randomBytes(API_KEY_BYTES).toString('base64url')}`;
  return { text, keyHash: createHash('sha256').update(text).digest('hex') };
};

const refuse = (message: string): never => {
  throw new CliError(message, exitCodes.refused);
};

const getAccount = (state: TableState, id: string): ClientAccountRow => {
  const row = state.rows.get(`account/${id}`)?.row;
  if (row?.kind !== 'account')
    throw new CliError(`account/${id} does not exist`, exitCodes.refused);
  return row;
};

/** The key is printed only once its digest is accepted; it is stored nowhere. */
const publishKey = async (
  context: CommandContext,
  state: TableState,
  row: ClientAccountRow,
  apiKey: ApiKey,
): Promise<void> => {
  const planned = planChange(state, { action: 'put', row });
  if (!planned) return;
  await applyPlanned(context, context.openTable(), planned);
  context.printer.printResult(`API key of ${row.id}, shown only once: ${apiKey.text}`, {
    account: row.id,
    apiKey: apiKey.text,
  });
};

const createAccount = async (
  context: CommandContext,
  id: string,
  args: readonly string[],
): Promise<void> => {
  const fields = parseFields('account', args);
  const apiKey = generateApiKey();
  const row = parseRow(
    'account',
    { ...mergeFields({ id }, fields), keyHashes: [apiKey.keyHash] },
    `account/${id}`,
  );
  const state = await context.openTable().readState(context.signal);
  if (state.rows.has(`account/${id}`)) refuse(`account/${id} exists already`);
  await publishKey(context, state, row as ClientAccountRow, apiKey);
};

const replaceKey = async (context: CommandContext, id: string): Promise<void> => {
  const state = await context.openTable().readState(context.signal);
  const account = getAccount(state, id);
  const apiKey = generateApiKey();
  const kept = context.flags.revokeOld ? [] : account.keyHashes;
  if (kept.length >= MAX_ACCOUNT_KEYS) {
    refuse(`account/${id} has ${kept.length} keys, the most allowed; use --revoke-old`);
  }
  await publishKey(context, state, { ...account, keyHashes: [apiKey.keyHash, ...kept] }, apiKey);
};

/** Creates client accounts and replaces their keys. */
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
      await replaceKey(context, id);
    } else this.requireArguments([], 1);
  }
}

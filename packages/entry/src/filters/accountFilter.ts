import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import { createRefusal, isNonIdempotentCall } from '@goldcrestscale/core';
import type { ClientAccountRow, ConfigTable, WorkloadRow } from '@goldcrestscale/core';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';
import type { NextFilter } from './filter.js';

/** Part of the configuration table by which callers are identified. */
export type AccountDirectory = Pick<
  ConfigTable,
  'findAccountByKeyHash' | 'findWorkloads' | 'getService'
>;

const BEARER_PATTERN = /^Bearer +(\S+)$/i;

const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex');

const isSameDigest = (left: string, right: string): boolean =>
  left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right));

/** Methods treated as idempotent for a service without a row in the table. */
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD']);

const isIdempotentCall = (exchange: Exchange, directory: AccountDirectory): boolean => {
  const { target, method } = exchange;
  if (target.kind !== 'service') return true;
  const service = directory.getService(target.service);
  return service ? !isNonIdempotentCall(service, method, target.path) : SAFE_METHODS.has(method);
};

const createUnknownTargetRefusal = ({ target }: Exchange): Error =>
  target.kind === 'completion'
    ? createRefusal(`No workload of this account serves the model "${target.model}".`, {
        code: 'unknown_model',
        status: 404,
      })
    : createRefusal(`No workload of this account serves "${target.service}".`, {
        code: 'unknown_service',
        status: 404,
      });

/**
 * Finds the client account of a caller by the API key in its request headers.
 *
 * @throws GoldcrestError `unauthorized`
 */
export const authenticateCaller = (
  directory: AccountDirectory,
  headers: IncomingHttpHeaders,
): ClientAccountRow => {
  const key = BEARER_PATTERN.exec(headers.authorization ?? '')?.[1];
  const keyHash = hashKey(key ?? '');
  const account = key ? directory.findAccountByKeyHash(keyHash) : undefined;
  if (account?.keyHashes.some((storedHash) => isSameDigest(storedHash, keyHash))) return account;
  throw createRefusal('The API key is missing or wrong. Send "Authorization: Bearer KEY".', {
    code: 'unauthorized',
    status: 401,
  });
};

const findWorkload = (
  directory: AccountDirectory,
  account: ClientAccountRow,
  exchange: Exchange,
): WorkloadRow => {
  const { target } = exchange;
  const requestedId = exchange.headers['x-workload'];
  const workload = directory
    .findWorkloads({
      accountId: account.id,
      ...(target.kind === 'completion' ? { model: target.model } : { service: target.service }),
    })
    .find((row) => requestedId === undefined || row.id === requestedId);
  if (!workload) throw createUnknownTargetRefusal(exchange);
  return workload;
};

/** Authenticates the caller and finds the client account and the workload of a request. */
export class AccountFilter extends Filter {
  override readonly name = 'identifyAccount';

  constructor(private readonly getDirectory: () => AccountDirectory) {
    super();
  }

  override async handle(exchange: Exchange, next: NextFilter): Promise<void> {
    const directory = this.getDirectory();
    const account = authenticateCaller(directory, exchange.headers);
    const workload = findWorkload(directory, account, exchange);
    exchange.account = account;
    exchange.workload = workload;
    exchange.isIdempotent = workload.idempotent && isIdempotentCall(exchange, directory);
    await next();
  }
}

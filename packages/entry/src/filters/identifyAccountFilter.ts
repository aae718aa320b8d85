import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import { createRefusal, isUnrepeatableCall } from '@goldcrestscale/core';
import type { ClientAccountRow, ConfigTable, WorkloadRow } from '@goldcrestscale/core';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';
import type { NextFilter } from './filter.js';

/** Part of the configuration table that identifies callers. */
export type AccountDirectory = Pick<
  ConfigTable,
  'findAccountByKeyHash' | 'findWorkloads' | 'getService'
>;

const BEARER = /^Bearer +(\S+)$/i;

const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex');

const isSameDigest = (left: string, right: string): boolean =>
  left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right));

/** Methods that are idempotent at a service of which the table says nothing. */
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD']);

const isIdempotentCall = (exchange: Exchange, directory: AccountDirectory): boolean => {
  const { target, method } = exchange;
  if (target.kind !== 'service') return true;
  const service = directory.getService(target.service);
  return service ? !isUnrepeatableCall(service, method, target.path) : SAFE_METHODS.has(method);
};

const refuseTarget = ({ target }: Exchange): Error =>
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
 * Finds the account of a caller by the head of its request.
 *
 * @throws GoldcrestError `unauthorized`
 */
export const authenticateCaller = (
  directory: AccountDirectory,
  headers: IncomingHttpHeaders,
): ClientAccountRow => {
  const key = BEARER.exec(headers.authorization ?? '')?.[1];
  const keyHash = hashKey(key ?? '');
  const account = key ? directory.findAccountByKeyHash(keyHash) : undefined;
  if (account?.keyHashes.some((known) => isSameDigest(known, keyHash))) return account;
  throw createRefusal('The API key is missing or wrong. Send "Authorization: Bearer KEY".', {
    code: 'unauthorized',
    status: 401,
  });
};

const chooseWorkload = (
  directory: AccountDirectory,
  account: ClientAccountRow,
  exchange: Exchange,
): WorkloadRow => {
  const { target } = exchange;
  const wanted = exchange.headers['x-workload'];
  const workload = directory
    .findWorkloads({
      accountId: account.id,
      ...(target.kind === 'completion' ? { model: target.model } : { service: target.service }),
    })
    .find((row) => wanted === undefined || row.id === wanted);
  if (!workload) throw refuseTarget(exchange);
  return workload;
};

/** Finds the client account and the workload of a request. */
export class IdentifyAccountFilter extends Filter {
  override readonly name = 'identifyAccount';

  constructor(private readonly directory: () => AccountDirectory) {
    super();
  }

  override async handle(exchange: Exchange, next: NextFilter): Promise<void> {
    const directory = this.directory();
    const account = authenticateCaller(directory, exchange.headers);
    const workload = chooseWorkload(directory, account, exchange);
    exchange.account = account;
    exchange.workload = workload;
    exchange.idempotent = workload.idempotent && isIdempotentCall(exchange, directory);
    await next();
  }
}

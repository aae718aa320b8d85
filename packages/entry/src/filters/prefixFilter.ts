import { createAccountSecret, createPromptBlocks, toId } from '@goldcrestscale/core';
import type { ClientAccountId, ModelId, PromptBlock, WorkloadId } from '@goldcrestscale/core';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';
import type { NextFilter } from './filter.js';

/** Dependencies of the prefix filter. */
export interface PrefixFilterOptions {
  /** Secret from which the block keys of all client accounts are derived. */
  readonly fleetSecret: string;
  /** Called for each prompt with its blocks. */
  readonly recordPrompt: (workloadId: WorkloadId, blocks: readonly PromptBlock[]) => void;
}

/**
 * Splits a prompt into blocks and computes their keys. It runs after the weight version filter,
 * because the keys depend on the version.
 */
export class PrefixFilter extends Filter {
  override readonly name = 'prefix';

  private readonly secrets = new Map<ClientAccountId, Buffer>();

  constructor(private readonly options: PrefixFilterOptions) {
    super();
  }

  override async handle(exchange: Exchange, next: NextFilter): Promise<void> {
    const { target, account, workload, weightVersion } = exchange;
    if (target.kind === 'completion' && account && weightVersion !== undefined) {
      exchange.blocks = createPromptBlocks({
        accountSecret: this.getSecret(account.id),
        model: toId<ModelId>(target.model),
        ...(target.adapter === undefined ? {} : { adapter: target.adapter }),
        weightVersion,
        prompt: target.prompt,
      });
      if (workload) this.options.recordPrompt(workload.id, exchange.blocks);
    }
    await next();
  }

  private getSecret(accountId: ClientAccountId): Buffer {
    const cached = this.secrets.get(accountId);
    if (cached) return cached;
    const secret = createAccountSecret(this.options.fleetSecret, accountId);
    this.secrets.set(accountId, secret);
    return secret;
  }
}

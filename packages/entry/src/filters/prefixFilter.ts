import { createAccountSecret, createPromptBlocks, toId } from '@goldcrestscale/core';
import type { ClientAccountId, ModelId, PromptBlock, WorkloadId } from '@goldcrestscale/core';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';
import type { NextFilter } from './filter.js';

/** What the prefix filter is built from. */
export interface PrefixFilterOptions {
  /** Secret from which the block keys of all accounts derive. */
  readonly fleetSecret: string;
  /** Told of each prompt with its blocks. */
  readonly noteVisit: (workloadId: WorkloadId, blocks: readonly PromptBlock[]) => void;
}

/** Names the blocks of a prompt; runs after the weight version is pinned. */
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
      if (workload) this.options.noteVisit(workload.id, exchange.blocks);
    }
    await next();
  }

  private getSecret(accountId: ClientAccountId): Buffer {
    const known = this.secrets.get(accountId);
    if (known) return known;
    const secret = createAccountSecret(this.options.fleetSecret, accountId);
    this.secrets.set(accountId, secret);
    return secret;
  }
}

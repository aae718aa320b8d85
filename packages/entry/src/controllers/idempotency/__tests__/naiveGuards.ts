import { IdempotencyGuard, formatScopedKey } from '@goldcrestscale/core';
import type { MemoryLog, ClaimResult, KeyedRequest, ExecutionOutcome } from '@goldcrestscale/core';

/** Guard that keeps keys in the memory of one VM only. */
export class InMemoryGuard extends IdempotencyGuard {
  private readonly outcomes = new Map<string, ExecutionOutcome | undefined>();

  override claim(request: KeyedRequest): Promise<ClaimResult> {
    const name = formatScopedKey(request);
    const outcome = this.outcomes.get(name);
    if (outcome) return Promise.resolve({ type: 'repeat', outcome });
    return Promise.resolve({
      type: 'run',
      permit: {
        begin: () => true,
        finish: (ended) => this.outcomes.set(name, ended),
        release: () => this.outcomes.delete(name),
      },
    });
  }
}

interface NaiveRecord {
  readonly name: string;
  readonly outcome?: ExecutionOutcome;
}

/** Guard that checks the log for a claim, appends its own, and runs without reading it back. */
export class EarlyDispatchGuard extends IdempotencyGuard {
  constructor(private readonly log: MemoryLog) {
    super();
  }

  override async claim(request: KeyedRequest): Promise<ClaimResult> {
    const name = formatScopedKey(request);
    const page = await this.log.read(0 as never);
    const known = page.records.map((record) => record.value as NaiveRecord);
    const outcome = known.find((record) => record.name === name && record.outcome)?.outcome;
    if (outcome) return { type: 'repeat', outcome };
    if (known.some((record) => record.name === name)) {
      return { type: 'repeat', outcome: { verdict: 'may-have-run' } };
    }
    await new Promise((resolve) => {
      setTimeout(resolve, 2);
    });
    await this.log.append([{ name }]);
    const finish = (ended: ExecutionOutcome): void => {
      this.log.append([{ name, outcome: ended }]).catch(() => undefined);
    };
    return { type: 'run', permit: { begin: () => true, finish, release: () => undefined } };
  }
}

import { OnceGuard, formatAccountKey } from '@goldcrestscale/core';
import type { MemoryLog, OnceClaim, OnceRequest, RunOutcome } from '@goldcrestscale/core';

/** Guard that keeps keys in the memory of one VM only. */
export class MemoryOnceGuard extends OnceGuard {
  private readonly outcomes = new Map<string, RunOutcome | undefined>();

  override claim(request: OnceRequest): Promise<OnceClaim> {
    const name = formatAccountKey(request);
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
  readonly outcome?: RunOutcome;
}

/** Guard that checks the log for a claim, appends its own, and runs without reading it back. */
export class EarlyDispatchGuard extends OnceGuard {
  constructor(private readonly log: MemoryLog) {
    super();
  }

  override async claim(request: OnceRequest): Promise<OnceClaim> {
    const name = formatAccountKey(request);
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
    const finish = (ended: RunOutcome): void => {
      this.log.append([{ name, outcome: ended }]).catch(() => undefined);
    };
    return { type: 'run', permit: { begin: () => true, finish, release: () => undefined } };
  }
}

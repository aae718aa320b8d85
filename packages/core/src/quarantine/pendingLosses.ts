import { MAX_PENDING_LOSSES } from './constants.js';
import type { CrashPattern } from './crashPattern.js';

/** The loss of a connection under a whole request, of which it is not known whether it was an end. */
export interface PendingLoss {
  readonly digest: string;
  readonly label: string;
  /** Monotonic time. */
  readonly atMs: number;
}

/** Losses of this VM that are being checked. */
export class PendingLosses {
  private readonly losses = new Set<PendingLoss>();

  get isEmpty(): boolean {
    return this.losses.size === 0;
  }

  /** Records a loss, unless there are too many. */
  record({ digest, label }: CrashPattern): PendingLoss {
    const loss = { digest, label, atMs: performance.now() };
    if (this.losses.size < MAX_PENDING_LOSSES) this.losses.add(loss);
    return loss;
  }

  remove(loss: PendingLoss): void {
    this.losses.delete(loss);
  }

  /** Forgets the losses under a request, because an upstream survived it. */
  removeAll(digest: string): void {
    this.losses.forEach((loss) => {
      if (loss.digest === digest) this.losses.delete(loss);
    });
  }

  hasLabel(label: string): boolean {
    return [...this.losses].some((loss) => loss.label === label);
  }

  /** Lists the times of the losses under a request. */
  listTimes(digest: string): readonly number[] {
    return [...this.losses].filter((loss) => loss.digest === digest).map(({ atMs }) => atMs);
  }
}

import type { UpstreamBoot } from '../fleet/index.js';
import type { VmId } from '../ids.js';
import { rankByRendezvous } from '../membership/rendezvous.js';

/** Number of VMs that may grant sends to an upstream. */
const GRANTER_COUNT = 2;

/** The granters of an upstream. */
export interface RankedGranters {
  /** By rank. */
  readonly granters: readonly VmId[];
  /** Monotonic time since which the first one has this rank, by this VM's view. */
  readonly firstSinceMs: number;
}

const isSameList = (left: readonly VmId[], right: readonly VmId[]): boolean =>
  left.length === right.length && left.every((vmId, index) => vmId === right[index]);

const buildKey = ({ upstreamId, startedAtMs }: UpstreamBoot): string =>
  `${upstreamId}/${startedAtMs}`;

/**
 * Ranks the VMs that grant sends to a boot of an upstream, by rendezvous hashing over the VMs that
 * accept callers. All VMs derive the same ranks once they know of the same VMs.
 */
export class GranterRanking {
  private serving: readonly VmId[] = [];

  private servingSinceMs = performance.now();

  private ranked = new Map<string, RankedGranters>();

  constructor(
    private readonly self: VmId,
    private readonly listServing: () => readonly VmId[],
  ) {}

  /** Applies a change of the VMs that accept callers; to be called often. */
  refresh(): void {
    const listed = this.listServing();
    const serving = listed.length > 0 ? listed : [this.self];
    if (isSameList(serving, this.serving)) return;
    this.serving = serving;
    this.servingSinceMs = performance.now();
    this.ranked = new Map(
      [...this.ranked].map(([key, previous]) => {
        const granters = this.rank(key);
        const isSameFirst = granters[0] === previous.granters[0];
        const firstSinceMs = isSameFirst ? previous.firstSinceMs : this.servingSinceMs;
        return [key, { granters, firstSinceMs }];
      }),
    );
  }

  find(boot: UpstreamBoot): RankedGranters {
    this.refresh();
    const key = buildKey(boot);
    const known = this.ranked.get(key);
    if (known) return known;
    const ranked = { granters: this.rank(key), firstSinceMs: this.servingSinceMs };
    this.ranked.set(key, ranked);
    return ranked;
  }

  /** Forgets all upstreams except for those in a list. */
  prune(boots: readonly UpstreamBoot[]): void {
    const keys = new Set(boots.map(buildKey));
    [...this.ranked.keys()].forEach((key) => {
      if (!keys.has(key)) this.ranked.delete(key);
    });
  }

  private rank(key: string): readonly VmId[] {
    return rankByRendezvous(key, this.serving).slice(0, GRANTER_COUNT);
  }
}

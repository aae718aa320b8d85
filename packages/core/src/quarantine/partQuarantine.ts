import type { UpstreamBoot } from '../fleet/index.js';
import type { ClientAccountId } from '../ids.js';
import type { Prompt, PromptPart } from '../promptRouting/index.js';
import {
  MAX_PARTS_PER_PROMPT,
  MAX_PART_LABEL_LENGTH,
  MAX_REMEMBERED_SURVIVALS,
  MAX_ROWS_PER_MESSAGE,
  MAX_TRACKED_QUARANTINE_PARTS,
  ROW_REPEAT_MS,
} from './constants.js';
import { PartDigests } from './partDigests.js';
import { PartEvidence } from './partEvidence.js';
import type { QuarantineRow } from './partEvidence.js';

/** A prompt, and the client account that sent it. */
export interface PromptOfAccount {
  readonly prompt: Prompt;
  readonly account: ClientAccountId | undefined;
}

/** A change of what is believed of a part. */
export interface QuarantineChange {
  readonly kind: 'refused' | 'lifted';
  readonly row: QuarantineRow;
}

/** Lists the parts that other prompts may share; the last one is specific to its prompt. */
const listSuspectParts = ({ parts }: Prompt): readonly PromptPart[] =>
  parts.slice(0, -1).slice(0, MAX_PARTS_PER_PROMPT);

/**
 * Finds the prompt part that makes every engine crash which begins to answer a prompt with it (a
 * "query of death"), and tells which prompts to refuse.
 *
 * A part is refused after several separate crashes of engines that were beginning an answer to it,
 * unless an answer to it got past its beginning since the first of them. Parts of sound prompts are
 * present at crashes too, but their other answers go well.
 */
export class PartQuarantine {
  private readonly parts = new Map<string, PartEvidence>();

  private readonly digests = new PartDigests();

  private readonly refused = new Set<string>();

  /** Monotonic time of the last survival by digest, in the order of these times. */
  private readonly survivals = new Map<string, number>();

  private changedAtMs = -Infinity;

  private sentAtMs = -Infinity;

  /** @param onChange called when a part begins or ceases to be refused */
  constructor(private readonly onChange: (change: QuarantineChange) => void = () => undefined) {}

  /** Number of parts that are refused. */
  get refusedCount(): number {
    return this.refused.size;
  }

  /** Records that an upstream ended while it was beginning to answer a prompt. */
  recordCrash({ prompt, account }: PromptOfAccount, boot: UpstreamBoot): void {
    const crash = { ...boot, account: account ?? '', atMs: performance.now() };
    listSuspectParts(prompt).forEach(({ id }) => {
      const digest = this.digests.compute(prompt.model, id);
      const evidence = this.getOrCreate(digest, id, 0);
      if (evidence?.recordCrash(crash)) this.handleChange(evidence);
    });
  }

  /** Records that an upstream got past the beginning of its answer to a prompt. */
  recordSurvival({ prompt }: PromptOfAccount): void {
    listSuspectParts(prompt).forEach(({ id }) => {
      const digest = this.digests.compute(prompt.model, id);
      this.storeSurvival(digest);
      const evidence = this.parts.get(digest);
      if (evidence) this.clearIfSurvived(evidence);
    });
  }

  /** Whether an upstream has crashed at the beginning of an answer to a part of the prompt. */
  hasSuspect({ prompt }: PromptOfAccount): boolean {
    return this.listTracked(prompt).some(({ isSuspect }) => isSuspect);
  }

  /** Finds the part for which a prompt is refused. */
  findRefused({ prompt, account }: PromptOfAccount): QuarantineRow | undefined {
    if (this.refused.size === 0) return undefined;
    const evidence = this.listTracked(prompt).find((one) => one.isRefusedFor(account ?? ''));
    evidence?.recordRequest();
    return evidence?.buildRow();
  }

  /** Lifts a refusal by hand. @returns whether the part was tracked */
  lift(digest: string): boolean {
    const evidence = this.parts.get(digest);
    if (!evidence) return false;
    evidence.clear();
    this.handleChange(evidence);
    return true;
  }

  /** Returns the rows to send to other VMs now; none if they have not changed for a while. */
  takeRows(): readonly QuarantineRow[] {
    this.refresh();
    const nowMs = performance.now();
    const isRecent = nowMs - this.changedAtMs < ROW_REPEAT_MS;
    if (!isRecent && nowMs - this.sentAtMs < ROW_REPEAT_MS) return [];
    this.sentAtMs = nowMs;
    // A clearing has no crashes, so the most suspected parts must not crowd it out.
    return [...this.parts.values()]
      .sort(
        (left, right) =>
          Number(right.isRefused) - Number(left.isRefused) || right.changedAtMs - left.changedAtMs,
      )
      .slice(0, MAX_ROWS_PER_MESSAGE)
      .map((evidence) => evidence.buildRow());
  }

  merge(rows: readonly QuarantineRow[]): void {
    rows.forEach((row) => {
      const evidence = this.getOrCreate(row.digest, row.label, row.requestedAgeMs);
      if (!evidence?.merge(row)) return;
      this.clearIfSurvived(evidence);
      this.handleChange(evidence);
    });
  }

  /** Lists what is known, refused parts first, then those with the most crashes. */
  dump(): readonly QuarantineRow[] {
    return [...this.parts.values()]
      .sort((left, right) => right.separateCrashes - left.separateCrashes)
      .map((evidence) => evidence.buildRow());
  }

  /** Lists the refused parts that a message has room for. */
  listRefused(): readonly QuarantineRow[] {
    return [...this.refused]
      .slice(0, MAX_ROWS_PER_MESSAGE)
      .flatMap((digest) => this.parts.get(digest)?.buildRow() ?? []);
  }

  private listTracked(prompt: Prompt): readonly PartEvidence[] {
    if (this.parts.size === 0) return [];
    return listSuspectParts(prompt).flatMap(
      ({ id }) => this.parts.get(this.digests.compute(prompt.model, id)) ?? [],
    );
  }

  /** @returns undefined if the table is full of parts that are refused */
  private getOrCreate(
    digest: string,
    label: string,
    requestedAgeMs: number,
  ): PartEvidence | undefined {
    const known = this.parts.get(digest);
    if (known) return known;
    if (this.parts.size >= MAX_TRACKED_QUARANTINE_PARTS) this.evictOne();
    if (this.parts.size >= MAX_TRACKED_QUARANTINE_PARTS) return undefined;
    const shortLabel = label.slice(0, MAX_PART_LABEL_LENGTH);
    const created = new PartEvidence(digest, shortLabel, performance.now() - requestedAgeMs);
    this.parts.set(digest, created);
    return created;
  }

  /** Evicts the part with the fewest crashes, the oldest of these first; never one that is refused. */
  private evictOne(): void {
    const candidates = [...this.parts.values()].filter(({ isRefused }) => !isRefused);
    const fewest = Math.min(...candidates.map(({ separateCrashes }) => separateCrashes));
    const evicted = candidates.find(({ separateCrashes }) => separateCrashes === fewest);
    if (evicted) this.parts.delete(evicted.digest);
  }

  private storeSurvival(digest: string): void {
    this.survivals.delete(digest);
    this.survivals.set(digest, performance.now());
    if (this.survivals.size > MAX_REMEMBERED_SURVIVALS)
      this.survivals.delete(this.survivals.keys().next().value!);
  }

  /** Clears a part if an answer to it got past its beginning since the first crash. */
  private clearIfSurvived(evidence: PartEvidence): void {
    const survivedAtMs = this.survivals.get(evidence.digest) ?? -Infinity;
    if (!evidence.isSuspect || survivedAtMs < evidence.firstCrashAtMs) return;
    evidence.clear();
    this.handleChange(evidence);
  }

  /** Applies what changes with time alone. */
  private refresh(): void {
    this.parts.forEach((evidence, digest) => {
      evidence.prune();
      this.updateRefusal(evidence);
      if (!evidence.isExpired()) return;
      this.parts.delete(digest);
      if (this.refused.delete(digest)) this.onChange({ kind: 'lifted', row: evidence.buildRow() });
    });
  }

  private handleChange(evidence: PartEvidence): void {
    this.changedAtMs = performance.now();
    evidence.markChanged();
    this.updateRefusal(evidence);
  }

  private updateRefusal(evidence: PartEvidence): void {
    const { digest, isRefused } = evidence;
    if (isRefused === this.refused.has(digest)) return;
    if (isRefused) this.refused.add(digest);
    else this.refused.delete(digest);
    this.onChange({ kind: isRefused ? 'refused' : 'lifted', row: evidence.buildRow() });
  }
}

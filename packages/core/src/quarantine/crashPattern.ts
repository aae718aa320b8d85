import { createHash } from 'node:crypto';
import type { ClientAccountId } from '../ids.js';
import type { Prompt, PromptPart } from '../promptRouting/index.js';
import { MAX_PARTS_PER_PROMPT, MAX_PATTERN_LABEL_LENGTH } from './constants.js';
import { PartDigests } from './partDigests.js';

/** What requests have in common that may crash upstreams. */
export interface CrashPattern {
  /** A shared part of prompts, or a whole request that comes again. */
  readonly kind: 'part' | 'request';
  readonly digest: string;
  /** Name of the part, or method and path of the request, shortened. */
  readonly label: string;
}

/** A prompt, and the client account that sent it. */
export interface PromptOfAccount {
  readonly prompt: Prompt;
  readonly account: ClientAccountId | undefined;
}

/** A whole request, and the client account that sent it. */
export interface WholeRequest {
  readonly method: string;
  readonly host: string;
  /** Path with query. */
  readonly target: string;
  readonly body: Buffer;
  readonly account: ClientAccountId | undefined;
}

/** A request as one pattern, or as its prompt with several. */
export type CrashSubject = PromptOfAccount | WholeRequest;

const DIGEST_LENGTH = 16;

/** Separates the fields of a request; none of them can contain it. */
const FIELD_END = '\0';

/** Builds the label of a request, which is compared before anything is hashed. */
export const buildRequestLabel = ({ method, host, target }: WholeRequest): string =>
  `${method} ${host}${target.split('?', 1)[0]}`.slice(0, MAX_PATTERN_LABEL_LENGTH);

const computeRequestDigest = ({ method, host, target, account, body }: WholeRequest): string =>
  createHash('sha256')
    .update([method, host, target, account ?? '', ''].join(FIELD_END))
    .update(body)
    .digest('base64url')
    .slice(0, DIGEST_LENGTH);

/** Lists the parts that other prompts may share; the last one is specific to its prompt. */
const listSuspectParts = ({ parts }: Prompt): readonly PromptPart[] =>
  parts.slice(0, -1).slice(0, MAX_PARTS_PER_PROMPT);

/** Lists the patterns of requests. */
export class PatternLister {
  private readonly partDigests = new PartDigests();

  list(subject: CrashSubject): readonly CrashPattern[] {
    if ('body' in subject) {
      const label = buildRequestLabel(subject);
      return [{ kind: 'request', digest: computeRequestDigest(subject), label }];
    }
    const { prompt } = subject;
    return listSuspectParts(prompt).map(({ id }) => ({
      kind: 'part',
      digest: this.partDigests.compute(prompt.model, id),
      label: id.slice(0, MAX_PATTERN_LABEL_LENGTH),
    }));
  }
}

import { z } from 'zod';
import { encodeDetectorMessage, parseDetectorMessage, toLogOffset } from '@goldcrestscale/core';
import type { DetectorMessage, LogReport } from '@goldcrestscale/core';

/** Mesh message type of membership. */
export const MEMBERSHIP_MESSAGE = 'membership';

/** A detector message; answers carry the sender's report of the log. */
export interface MembershipMessage {
  readonly detector: DetectorMessage;
  readonly report?: LogReport;
}

const reportSchema = z.tuple([z.boolean(), z.int().min(-1), z.number().min(0)]);

const NO_STAMP = -1;

/** Encodes a message as a compact array. */
export const encodeMembershipMessage = ({ detector, report }: MembershipMessage): unknown[] => {
  const wire = [encodeDetectorMessage(detector)];
  if (!report) return wire;
  const { headOffset, ageMs } = report.stamp ?? { headOffset: NO_STAMP, ageMs: 0 };
  return [...wire, [report.canReadLog, headOffset, Math.ceil(ageMs)]];
};

const parseReport = (value: unknown): LogReport | undefined => {
  const result = reportSchema.safeParse(value);
  if (!result.success) return undefined;
  const [canReadLog, headOffset, ageMs] = result.data;
  if (headOffset === NO_STAMP) return { canReadLog, ageMs: 0 };
  return { canReadLog, ageMs: 0, stamp: { headOffset: toLogOffset(headOffset), ageMs } };
};

/** Parses a received message; undefined where it is malformed. */
export const parseMembershipMessage = (value: unknown): MembershipMessage | undefined => {
  if (!Array.isArray(value)) return undefined;
  const [wire, reportWire] = value as unknown[];
  const detector = parseDetectorMessage(wire);
  if (!detector) return undefined;
  const report = parseReport(reportWire);
  return report ? { detector, report } : { detector };
};

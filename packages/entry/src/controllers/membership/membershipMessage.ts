import { z } from 'zod';
import { encodeDetectorMessage, parseDetectorMessage, toLogOffset } from '@goldcrestscale/core';
import type { DetectorMessage, LogReport } from '@goldcrestscale/core';

/** Mesh message type of membership. */
export const MEMBERSHIP_MESSAGE = 'membership';

/** Failure detector message; acks also carry the sender's report of the log. */
export interface MembershipMessage {
  readonly detectorMessage: DetectorMessage;
  readonly logReport?: LogReport;
}

const logReportSchema = z.tuple([z.boolean(), z.int().min(-1), z.number().min(0)]);

const UNKNOWN_HEAD_OFFSET = -1;

/** Encodes a membership message as an array. */
export const encodeMembershipMessage = ({
  detectorMessage,
  logReport,
}: MembershipMessage): unknown[] => {
  const fields = [encodeDetectorMessage(detectorMessage)];
  if (!logReport) return fields;
  const { headOffset, ageMs } = logReport.head ?? { headOffset: UNKNOWN_HEAD_OFFSET, ageMs: 0 };
  return [...fields, [logReport.isLogReachable, headOffset, Math.ceil(ageMs)]];
};

const parseLogReport = (value: unknown): LogReport | undefined => {
  const result = logReportSchema.safeParse(value);
  if (!result.success) return undefined;
  const [canReadLog, headOffset, ageMs] = result.data;
  if (headOffset === UNKNOWN_HEAD_OFFSET) return { isLogReachable: canReadLog, ageMs: 0 };
  return {
    isLogReachable: canReadLog,
    ageMs: 0,
    head: { headOffset: toLogOffset(headOffset), ageMs },
  };
};

/** Parses a membership message; undefined if malformed. */
export const parseMembershipMessage = (value: unknown): MembershipMessage | undefined => {
  if (!Array.isArray(value)) return undefined;
  const [detectorFields, reportFields] = value as unknown[];
  const detectorMessage = parseDetectorMessage(detectorFields);
  if (!detectorMessage) return undefined;
  const logReport = parseLogReport(reportFields);
  return logReport ? { detectorMessage, logReport } : { detectorMessage };
};

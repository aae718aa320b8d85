import { z } from 'zod';
import type { CompletionWorkload, Workload } from '../config.js';
import { generateExpectedAnswer, generatePrompt, renderChatPrompt } from '../workload/index.js';
import type { PlannedRequest } from '../workload/index.js';
import type { PayloadContext } from './buildPayload.js';
import { getCallRef } from './buildPayload.js';

const callSchema = z.object({ echo: z.object({ ref: z.string() }) });

const isExpectedCompletion = (
  context: PayloadContext,
  planned: PlannedRequest,
  workload: CompletionWorkload,
  text: string,
): boolean => {
  if (workload.weightVersions.length === 0) return true;
  const prompt = generatePrompt(context.seed, planned.session, planned.promptTokens);
  const renderedPrompt = workload.chat ? renderChatPrompt(prompt) : prompt;
  return workload.weightVersions.some(
    (version) => generateExpectedAnswer(version, renderedPrompt, workload.answerTokens) === text,
  );
};

const isExpectedEcho = (
  context: PayloadContext,
  planned: PlannedRequest,
  text: string,
): boolean => {
  try {
    const parsed = callSchema.safeParse(JSON.parse(text));
    return parsed.success && parsed.data.echo.ref === getCallRef(context, planned);
  } catch {
    return false;
  }
};

/** Checks whether a complete response belongs to its request and has the expected text. */
export const isExpectedResponse = (
  context: PayloadContext,
  planned: PlannedRequest,
  workload: Workload,
  text: string,
): boolean => {
  if (workload.type === 'completion') return isExpectedCompletion(context, planned, workload, text);
  return workload.method === 'GET' ? text !== '' : isExpectedEcho(context, planned, text);
};

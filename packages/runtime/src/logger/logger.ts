import type { Writable } from 'node:stream';
import winston from 'winston';
import type { ClientAccountId, RequestId } from '@goldcrestscale/core';
import type { LogSettings } from './logSettings.js';
import { redactText, redactValue } from './redact.js';

/** Environment variable with the parts to log at debug level, such as "mesh,routing" or "*". */
export const DEBUG_ENV_VARIABLE = 'GOLDCREST_DEBUG';

/** Structured fields of a log line. Prompts, responses and keys are redacted. */
export interface LogFields {
  readonly requestId?: RequestId;
  readonly accountId?: ClientAccountId;
  readonly [name: string]: unknown;
}

/** Writes one log line. */
export type LogMethod = (message: string, fields?: LogFields) => void;

/** Logger of one part of the program. */
export interface Logger {
  readonly error: LogMethod;
  readonly warn: LogMethod;
  readonly info: LogMethod;
  readonly debug: LogMethod;
  /** Creates a logger that adds these fields to every line. */
  createChild(fields: LogFields): Logger;
  /** Creates a logger for another part with the same fields. */
  createPartLogger(part: string): Logger;
}

/** Options of a logger. */
export interface LoggerOptions extends LogSettings {
  /** Name of the part, the prefix of its messages, for example "routing". */
  readonly part: string;
  /** Destination of the lines. @default process.stderr */
  readonly stream?: Writable;
  /** Comma-separated parts to log at debug level. @default the variable GOLDCREST_DEBUG */
  readonly debugParts?: string;
}

interface LoggerScope {
  readonly part: string;
  readonly fields: LogFields;
}

type Level = LogSettings['level'];

const formatFieldValue = (value: unknown): string =>
  typeof value === 'string' && /^\S+$/.test(value) ? value : JSON.stringify(value);

const formatHumanLine = (info: winston.Logform.TransformableInfo): string => {
  const { timestamp, level, message, ...fields } = info;
  const fieldsText = Object.entries(fields)
    .filter(([name, value]) => name !== 'part' && value !== undefined)
    .map(([name, value]) => ` ${name}=${formatFieldValue(value)}`)
    .join('');
  return `${String(timestamp)} ${level} ${String(message).replaceAll('\n', '\\n')}${fieldsText}`;
};

const createFormat = (format: LogSettings['format']): winston.Logform.Format =>
  winston.format.combine(
    winston.format.timestamp(),
    format === 'json' ? winston.format.json() : winston.format.printf(formatHumanLine),
  );

const parseDebugParts = (text: string): ReadonlySet<string> =>
  new Set(
    text
      .split(',')
      .map((part) => part.trim())
      .filter((part) => part !== ''),
  );

const createScopedLogger = (
  winstonLogger: winston.Logger,
  level: Level,
  debugParts: ReadonlySet<string>,
  scope: LoggerScope,
): Logger => {
  const isDebug = debugParts.has(scope.part) || debugParts.has('*');
  const threshold = winstonLogger.levels[isDebug ? 'debug' : level] ?? 0;
  const writeLine = (lineLevel: Level, message: string, fields: LogFields = {}): void => {
    if ((winstonLogger.levels[lineLevel] ?? 0) > threshold) return;
    const redactedFields = redactValue({ ...scope.fields, ...fields }) as Record<string, unknown>;
    // The reserved names come last, so that a caller's field can't override them.
    winstonLogger.log({
      ...redactedFields,
      part: scope.part,
      level: lineLevel,
      message: `[${scope.part}] ${redactText(message)}`,
    });
  };
  return {
    error: (message, fields) => writeLine('error', message, fields),
    warn: (message, fields) => writeLine('warn', message, fields),
    info: (message, fields) => writeLine('info', message, fields),
    debug: (message, fields) => writeLine('debug', message, fields),
    createChild: (fields) =>
      createScopedLogger(winstonLogger, level, debugParts, {
        ...scope,
        fields: { ...scope.fields, ...fields },
      }),
    createPartLogger: (part) =>
      createScopedLogger(winstonLogger, level, debugParts, { ...scope, part }),
  };
};

/** Creates the logger of one part. */
export const createLogger = (options: LoggerOptions): Logger => {
  const winstonLogger = winston.createLogger({
    level: 'debug',
    levels: { error: 0, warn: 1, info: 2, debug: 3 },
    format: createFormat(options.format),
    transports: [new winston.transports.Stream({ stream: options.stream ?? process.stderr })],
  });
  const debugParts = parseDebugParts(options.debugParts ?? process.env[DEBUG_ENV_VARIABLE] ?? '');
  return createScopedLogger(winstonLogger, options.level, debugParts, {
    part: options.part,
    fields: {},
  });
};

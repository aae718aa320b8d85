import { z } from 'zod';

/** Log settings, under the key `log` of every binary's settings. */
export const logSettingsSchema = z
  .strictObject({
    level: z
      .enum(['error', 'warn', 'info', 'debug'])
      .default('info')
      .describe('Least severe level that is written.'),
    format: z
      .enum(['json', 'human'])
      .default('json')
      .describe('Form of a line: one JSON object, or text for a person.'),
  })
  .prefault({})
  .describe('Logs.');

/** Resolved log settings. */
export type LogSettings = z.output<typeof logSettingsSchema>;

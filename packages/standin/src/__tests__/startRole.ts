import { onTestFinished } from 'vitest';
import { request } from 'undici';
import { startStandInServer } from '../http/index.js';
import { createRole } from '../roles.js';

/** Response of a stand-in. */
export interface RoleResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
  readonly json: any;
}

/** A stand-in that runs until the test finishes. */
export interface RunningRole {
  readonly url: string;
  call(
    method: string,
    path: string,
    body?: unknown,
    headers?: Record<string, string>,
  ): Promise<RoleResponse>;
}

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Starts a role on a free port and closes it when the test finishes. */
export const startRole = async (name: string, settings: unknown = {}): Promise<RunningRole> => {
  const role = createRole(name, settings);
  if (!role) throw new Error(`no role ${name}`);
  const server = await startStandInServer(role, { host: '127.0.0.1', port: 0 });
  onTestFinished(() => server.close());
  const url = `http://127.0.0.1:${server.port}`;
  return {
    url,
    async call(method, path, body, headers = {}) {
      const bytes = Buffer.isBuffer(body) ? body : JSON.stringify(body);
      const response = await request(`${url}${path}`, {
        method: method as 'GET',
        headers,
        ...(body !== undefined && { body: bytes as string }),
      });
      const text = await response.body.text();
      return {
        status: response.statusCode,
        headers: response.headers,
        text,
        json: parseJson(text),
      };
    },
  };
};

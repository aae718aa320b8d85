/** Records of the operator and of the servers. */

export const HOST = 'kbw.example';

export const LIMITS = {
  header_bytes: 16_384,
  body_bytes: 4_194_304,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

export const buildRoute = (name, rest) => ({
  name,
  host: HOST,
  path_prefix: `/${name}/`,
  priority: 2,
  attempts: 1,
  anonymous: true,
  sticky: false,
  resumable: false,
  ...rest,
});

/** Writes the entry of a server about as often as the pages say. */
export const keepRegistered = (log, id, entry) => {
  let sequence = 0;
  const born = Date.now();
  const write = () => {
    sequence += 1;
    log.append('keyed.servers', id, {
      version: 'v1',
      state: 'ready',
      cold_remaining_ms: 0,
      stage: 'both',
      models: [],
      ...entry,
      sequence,
      born,
    });
  };
  write();
  setInterval(write, 1_200).unref();
};

const ADDRESS_PATTERN = /^(?:\[[\da-f:]+\]|[\w.-]+):(\d{1,5})$/i;

const MAX_PORT = 65_535;

/** Whether a text is HOST:PORT with a port that a socket can connect to; sockets throw for others. */
export const isSocketAddress = (text: string): boolean => {
  const port = Number(ADDRESS_PATTERN.exec(text)?.[1] ?? 0);
  return port >= 1 && port <= MAX_PORT;
};

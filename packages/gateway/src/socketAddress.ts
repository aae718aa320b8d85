/** Takes a checked HOST:PORT apart. */
export const splitAddress = (address: string): { readonly host: string; readonly port: number } => {
  const split = address.lastIndexOf(':');
  return { host: address.slice(0, split), port: Number(address.slice(split + 1)) };
};

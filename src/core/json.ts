/** Values as JSON and TOML documents hold them. */

export type Json = null | boolean | number | string | readonly Json[] | { readonly [key: string]: Json }

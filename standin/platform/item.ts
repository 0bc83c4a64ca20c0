/** One item of the table service, with its attributes in the service's own typed form. */

export type Item = Readonly<Record<string, unknown>>

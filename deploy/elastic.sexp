; The operators' own settings of a deployment whose jobs may change their width; see docs/elastic.md.
(elastic 1)
